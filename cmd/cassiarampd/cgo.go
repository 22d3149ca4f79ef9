package main

// import "C" links the daemon with the C library, as the platform's machines
// require.

import "C"
