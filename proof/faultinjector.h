#pragma once

#include "proof/fault.h"

#include <functional>
#include <vector>

namespace Rattanpick::Proof
{

class ScenarioRun;

/// Carries out the faults of a plan in a run, and undoes them.
class FaultInjector
{
public:
    /// Builds an injector for the run, which must outlive it.
    explicit FaultInjector(ScenarioRun &run);

    /// Puts the faults into the run's future, counted from @p begin after its start.
    void schedule(const FaultPlan &plan, Duration begin);

    /// Begins a fault now; what undoes it is kept until its duration is over or undoAll().
    void begin(const Fault &fault);

    /// Undoes all faults that still last.
    void undoAll();

private:
    using Undo = std::function<void()>;

    Undo beginProcessFault(const Fault &fault);
    Undo beginNetworkFault(const Fault &fault);
    Undo beginTargetFault(const Fault &fault);
    Undo beginPlatformFault(const Fault &fault);
    Undo beginOperatorChange(const Fault &fault);

    Undo cutOff(const std::vector<std::size_t> &processes, const std::function<bool(std::size_t)> &from);
    Undo leaveService(std::size_t target, bool isRemoved);
    Undo takeOut(std::size_t dataCentre);
    void raceDocuments(std::size_t subject);
    bool mayLeave(std::size_t target) const;
    std::size_t listedTarget(std::size_t subject) const;
    void undo(std::size_t number);

    ScenarioRun &m_run;
    /// What undoes each begun fault; empty once undone.
    std::vector<Undo> m_undos;
};

}
