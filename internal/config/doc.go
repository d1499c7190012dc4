// Package config reads and validates the INI settings of an instance.
package config
