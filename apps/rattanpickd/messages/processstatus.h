#pragma once

#include <QJsonObject>

namespace Rattanpick
{

/// The keys of a process's state that `rattanpickctl status` shows as columns (see AdminHandlers::status).
///
/// @p decisions is what the decisions describe, @p metrics a snapshot of the metrics; the counters of
/// dropped packets give the refusals. The snapshot is included under the key metrics.
QJsonObject processStatus(const QJsonObject &decisions, const QJsonObject &metrics);

}
