// Package cmds implements the command line of clementineweir.
package cmds
