#pragma once

#include "core/identifiers.h"

#include <array>
#include <limits>

namespace Rattanpick
{

/// The better of two targets drawn by the hash of a flow, each in proportion to its capacity.
class TwoChoices
{
public:
    /// A target that may be drawn.
    struct Candidate
    {
        TargetId id{};
        /// Hash of the flow and the target.
        quint64 hash = 0;
        /// Requests per second that the target can process.
        double capacity = 0;
        /// Expected time of a request, in units that do not depend on the speed of the target.
        double cost = 0;
        /// Whether the target is in the data centre of the balancer.
        bool isLocal = false;
    };

    /// The second target drawn must cost less than the first one by more than the share @p margin to be better.
    explicit TwoChoices(double margin);

    /// Adds a target that may be drawn.
    void add(const Candidate &candidate);

    /// The two targets drawn, the better one first; TargetId{} in place of those that are missing.
    std::array<TargetId, 2> drawn() const;

private:
    static constexpr double infinity = std::numeric_limits<double>::infinity();

    /// The two targets with the lowest draws, the lowest first.
    struct Pair
    {
        struct Member
        {
            double draw = infinity;
            double cost = infinity;
            TargetId id{};
        };

        void add(const Member &member);
        /// The members, the better one first.
        std::array<Member, 2> ranked(double margin) const;

        std::array<Member, 2> members;
    };

    double m_margin;
    Pair m_local;
    Pair m_all;
    double m_bestRemoteCost = infinity;
};

}
