#pragma once

#include <QString>

namespace Rattanpick
{

/// Which decisions for uneven and scarce load are made; without any of them, flows are placed and queued by load and priority alone.
struct BalancingSettings
{
    /// Balancers draw two targets for a flow and choose the better one, so that old load data do not send all flows to one target.
    bool usesTwoChoices = false;
    /// Balancers give targets that fail, do not answer or flap only few flows.
    bool usesProbation = false;
    /// Agents release queued openings by the objectives of their routes.
    bool ordersByObjective = false;
    /// Share of the released openings that less urgent priorities get while they wait, in percent; 0 is strict priority.
    int minimumSharePercent = 0;

    /// The settings by their names in the settings file, for log lines.
    QString toString() const
    {
        const auto textOf = [](bool isOn) {
            return isOn ? QStringLiteral("true") : QStringLiteral("false");
        };
        return QStringLiteral("two-choices=%1 probation=%2 objective-order=%3 minimum-share-percent=%4")
            .arg(textOf(usesTwoChoices), textOf(usesProbation), textOf(ordersByObjective))
            .arg(minimumSharePercent);
    }

    bool operator==(const BalancingSettings &) const = default;
};

}
