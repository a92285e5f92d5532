#pragma once

#include <QJsonObject>

namespace Rattanpick
{

/// The state of a process under the keys that `rattanpickctl status` shows as columns (see AdminHandlers::status).
///
/// @p decisions is the status of the decision worker, @p metrics a snapshot of the metrics. The refusals are the
/// counters of dropped packets that are not 0. The snapshot is included under the key metrics.
QJsonObject processStatus(const QJsonObject &decisions, const QJsonObject &metrics);

}
