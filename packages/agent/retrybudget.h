#pragma once

// Callers and agents spend retries by the same rule, and the caller package cannot depend on this one.
#include "caller/retrybudget.h"
