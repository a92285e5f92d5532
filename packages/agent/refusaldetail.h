#pragma once

#include "caller/callermessage.h"

#include <QString>

namespace Rattanpick
{

/// The reason as event details show it, such as "deadline passed"; shared text that allocates nothing.
QString refusalDetail(RefusalReason reason);

}
