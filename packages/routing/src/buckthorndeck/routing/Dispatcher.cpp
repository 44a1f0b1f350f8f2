#include "buckthorndeck/routing/Dispatcher.h"
