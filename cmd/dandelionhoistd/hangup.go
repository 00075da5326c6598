package main

/*
#include <signal.h>

// The loader runs constructors before the Go runtime starts.
static void __attribute__((constructor)) ignore_hangups(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
