// Package searcher is a fake backend server for tests and demonstrations.
package searcher
