#include <spread/documentdelta.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <vector>

using namespace Rattanpick;

namespace
{

QByteArray makeText(const std::vector<std::uint8_t> &sections)
{
    QByteArray text = "# head\n";
    for (const std::uint8_t section : sections) {
        text += "[target " + QByteArray::number(section / 4) + "]\nweight = " + QByteArray::number(section % 4) + "\n";
    }
    return text;
}

}

// Guards against a delta that loses, duplicates or reorders a section.
RC_GTEST_PROP(DocumentDeltaTest, RoundTrip, (const std::vector<std::uint8_t> &before, const std::vector<std::uint8_t> &after))
{
    const QByteArray base = makeText(before);
    const QByteArray text = makeText(after);
    const DocumentDelta delta = DocumentDelta::between(DocumentOutline(base), text);
    const std::optional<DocumentDelta> decoded = DocumentDelta::fromBytes(delta.toBytes());
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == delta);
    RC_ASSERT(decoded->applyTo(base) == text);
}

// Guards against a delta as large as the document: one changed section out of 20,000 takes less than 200 bytes.
TEST(DocumentDeltaTest, OneChangedSectionIsSmall)
{
    QByteArray base;
    for (int index = 0; index < 20'000; ++index) {
        base += "[target " + QByteArray::number(index) + "]\nweight = 100\n";
    }
    QByteArray text = base;
    text.replace("[target 777]\nweight = 100", "[target 777]\nweight = 50");
    const DocumentDelta delta = DocumentDelta::between(DocumentOutline(base), text);
    EXPECT_LT(delta.toBytes().size(), 200);
    EXPECT_EQ(delta.applyTo(base), text);
}

// Guards against applying a delta to a base that it was not computed from.
TEST(DocumentDeltaTest, RefusesOtherBase)
{
    const QByteArray base = makeText({1, 2, 3});
    const DocumentDelta delta = DocumentDelta::between(DocumentOutline(base), makeText({1, 2, 9}));
    EXPECT_FALSE(delta.applyTo(makeText({1, 7, 3})));
    EXPECT_FALSE(delta.applyTo("# head\n"));
}

// Guards against allocating the size that a damaged size field specifies.
TEST(DocumentDeltaTest, RefusesHugeSizes)
{
    EXPECT_FALSE(uncompressBytes(QByteArray::fromHex("ffffffff789c"), 1000));
    EXPECT_FALSE(uncompressBytes(compressBytes(QByteArray(2000, 'x')), 1000));
    EXPECT_FALSE(DocumentDelta::fromBytes("abc"));
}
