// Defines the global state of easylogging++ once for every program that links the library.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
