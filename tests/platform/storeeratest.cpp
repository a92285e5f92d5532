#include <platform/storeera.h>

#include <gtest/gtest.h>

#include <array>

using namespace Rattanpick;

// Guards against a process that falls back to an earlier era, or follows one that does not exist, because of a header that is
// missing, malformed, too large or late.
TEST(StoreEraTest, BadHeadersChangeNoEra)
{
    StoreEra era;
    EXPECT_EQ(era.read(QByteArray()), (StoreEra::Reading{0, EraProblem::None}));
    EXPECT_EQ(era.read("7"), (StoreEra::Reading{7, EraProblem::None}));
    EXPECT_EQ(era.read(QByteArray()), (StoreEra::Reading{7, EraProblem::Missing}));
    for (const char *malformed : {"", " ", "x", "8x", "-8", "+8", "8.0", "1e3", "18446744073709551616", "99999999999999999999999999"}) {
        EXPECT_EQ(era.read(QByteArray(malformed)), (StoreEra::Reading{7, EraProblem::Malformed})) << malformed;
    }
    EXPECT_EQ(era.read("6"), (StoreEra::Reading{6, EraProblem::Outdated}));
    EXPECT_EQ(era.read("18446744073709551615"), (StoreEra::Reading{7, EraProblem::Implausible}));
    EXPECT_EQ(era.read(" 8 "), (StoreEra::Reading{8, EraProblem::None}));
}
