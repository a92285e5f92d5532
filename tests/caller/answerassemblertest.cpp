#include <caller/answerassembler.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

using namespace Rattanpick;
using Result = AnswerAssembler::Result;

// Guards P5 against parts that are reordered, repeated, or belong to an earlier flow or request on the same addresses.
RC_GTEST_PROP(AnswerAssemblerTest, AnyOrderGivesTheWholeAnswerAndNoOther, (quint64 seed))
{
    const auto parts = static_cast<quint16>(*rc::gen::inRange(1, 65));
    std::mt19937_64 random(seed);
    std::vector<AnswerPart> arrivals;
    QByteArray whole;
    for (quint16 part = 0; part < parts; ++part) {
        const QByteArray body(static_cast<qsizetype>(random() % 5), static_cast<char>('a' + part % 26));
        whole += body;
        arrivals.insert(arrivals.end(), 1 + random() % 2, AnswerPart{7, 3, part, parts, body});
        arrivals.push_back(AnswerPart{7, 2, part, parts, "earlier request"});
        arrivals.push_back(AnswerPart{6, 3, part, parts, "earlier flow"});
        arrivals.push_back(AnswerPart{7, 3, part, static_cast<quint16>(parts + 1), "other count"});
    }
    // The first part determines the number of parts.
    std::shuffle(arrivals.begin(), arrivals.end(), random);
    const auto first =
        std::find_if(arrivals.begin(), arrivals.end(), [&](const AnswerPart &part) { return part.nonce == 7 && part.number == 3 && part.parts == parts; });
    std::iter_swap(arrivals.begin(), first);

    AnswerAssembler assembler(7, 3);
    std::vector<bool> hasArrived(parts);
    std::size_t missing = parts;
    for (const AnswerPart &part : arrivals) {
        const bool isOwn = part.nonce == 7 && part.number == 3;
        const bool isCounted = isOwn && part.parts == parts;
        const bool isNew = isCounted && !hasArrived[part.part];
        missing -= isNew ? 1 : 0;
        const Result expected = !isOwn         ? Result::Foreign
                                : !isCounted   ? Result::Inconsistent
                                : !isNew       ? Result::Repeated
                                : missing == 0 ? Result::Completed
                                               : Result::Added;
        RC_ASSERT(assembler.add(part) == expected);
        if (isCounted) {
            hasArrived[part.part] = true;
        }
        RC_ASSERT(assembler.isComplete() == (missing == 0));
        RC_ASSERT(assembler.body().has_value() == (missing == 0));
    }
    RC_ASSERT(*assembler.body() == whole);
    RC_ASSERT(assembler.receivedMask() == AnswerAssembler::fullMask(parts));
}

// Guards against a repeated part that replaces an acknowledged one, and against invalid part numbers.
TEST(AnswerAssemblerTest, RefusesContradictions)
{
    AnswerAssembler assembler(7, 3);
    EXPECT_EQ(assembler.add({7, 3, 0, 0, {}}), Result::Inconsistent);
    EXPECT_EQ(assembler.add({7, 3, 2, 2, {}}), Result::Inconsistent);
    EXPECT_EQ(assembler.add({7, 3, 0, 65, {}}), Result::Inconsistent);
    EXPECT_EQ(assembler.add({7, 3, 0, 2, "a"}), Result::Added);
    EXPECT_EQ(assembler.add({7, 3, 0, 2, "b"}), Result::Inconsistent);
    EXPECT_EQ(assembler.add({7, 3, 1, 2, "c"}), Result::Completed);
    EXPECT_EQ(assembler.body(), QByteArray("ac"));
}
