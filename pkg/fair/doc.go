// Package fair lets the teams whose requests wait in a queue take turns, so that a team with many requests does not delay those of others.
package fair
