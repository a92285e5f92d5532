#include <configservice/documentassembler.h>
#include <configservice/documentsplitter.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Rattanpick;

namespace
{

QByteArray makeText(qsizetype bytes)
{
    QByteArray text = "[document]\nversion = 7\n";
    while (text.size() < bytes) {
        text += "# line " + QByteArray::number(text.size()) + "\n";
    }
    return text;
}

}

// Guards against a document larger than one value (1 MB) that cannot be stored, or that changes when it is assembled
// from its parts.
TEST(DocumentAssemblerTest, LargeDocumentRoundTrip)
{
    const QByteArray text = makeText(2'500'000);
    const SplitDocument split = splitDocument(text, 7);
    EXPECT_EQ(split.parts.size(), 3U);
    DocumentAssembler assembler;
    ASSERT_TRUE(assembler.start(split.value));
    for (const auto &[name, value] : split.parts) {
        EXPECT_LE(value.size(), maximumValueBytes);
        EXPECT_FALSE(assembler.document());
        EXPECT_TRUE(assembler.addPart(name, value)) << assembler.lastError().toStdString();
    }
    EXPECT_EQ(assembler.document(), text);
}

// Guards against a document that fits into one value but is stored with an unnecessary manifest.
TEST(DocumentAssemblerTest, SmallDocumentIsItsOwnValue)
{
    const QByteArray text = makeText(100);
    EXPECT_EQ(splitDocument(text, 7).value, text);
    DocumentAssembler assembler;
    ASSERT_TRUE(assembler.start(text));
    EXPECT_TRUE(assembler.missingParts().isEmpty());
    EXPECT_EQ(assembler.document(), text);
}

// Guards against an incomplete or corrupted document in force because a corrupted byte in one of its parts is not
// detected.
RC_GTEST_PROP(DocumentAssemblerTest, RefusesDamagedParts, (quint16 position, quint8 flip))
{
    RC_PRE(flip != 0);
    const QByteArray text = makeText(5000);
    const SplitDocument split = splitDocument(text, 7, 1000);
    DocumentAssembler assembler;
    RC_ASSERT(assembler.start(split.value));
    qsizetype refused = 0;
    qsizetype remaining = position % text.size();
    for (const QString &name : assembler.missingParts()) {
        QByteArray value = split.parts.at(name);
        if (remaining >= 0 && remaining < value.size()) {
            value[remaining] = static_cast<char>(value[remaining] ^ flip);
        }
        remaining -= value.size();
        refused += assembler.addPart(name, value) ? 0 : 1;
    }
    RC_ASSERT(refused == 1);
    RC_ASSERT(!assembler.document());
}

// Guards against accepting a manifest that claims unbounded memory or lacks a field.
TEST(DocumentAssemblerTest, RefusesMalformedManifests)
{
    DocumentAssembler assembler;
    EXPECT_FALSE(assembler.start("{"));
    EXPECT_FALSE(assembler.start("{\"version\":\"1\",\"digest\":\"ab\",\"parts\":[]}"));
    EXPECT_FALSE(assembler.start("{\"version\":\"1\",\"digest\":\"ab\",\"parts\":[{\"name\":\"p\",\"bytes\":2000000,\"digest\":\"ab\"}]}"));
    EXPECT_FALSE(assembler.start(QByteArray(maximumValueBytes + 1, 'x')));
    EXPECT_FALSE(assembler.document());
}
