// Package codestyle holds tests that keep the module readable: a limit on the width of lines and the length of
// functions, a doc comment on each exported declaration, and no name made of words that the project has retired in
// favour of the standard terms of the field. It has no code of its own.
//
// Files in testdata/legacy.txt were written before these rules and are not checked. A file leaves the list when it is
// rewritten, and the list can only become shorter: a listed file that keeps the rules fails the test.
package codestyle
