// Package mesh joins the instances for routed services: who reaches the store passes calls on for who does not, and tokens move where they are needed.
package mesh
