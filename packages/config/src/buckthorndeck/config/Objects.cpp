#include "buckthorndeck/config/Objects.h"
