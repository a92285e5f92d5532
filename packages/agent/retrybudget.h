#pragma once

// Callers and agents share one retry budget implementation, and the caller package cannot depend on this one.
#include "caller/retrybudget.h"
