// The library's state, linked into every program that uses the library.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
