#pragma once

#include "caller/callermessage.h"

#include <QString>

namespace Rattanpick
{

/// The text of the reason in event details, such as "deadline passed"; returns a shared string without an allocation.
QString refusalDetail(RefusalReason reason);

}
