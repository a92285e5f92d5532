#include <operators/documentreader.h>

#include <QFile>

#include <gtest/gtest.h>

using namespace Rattanpick;

namespace
{

struct Example
{
    const char *file;
    const char *region;
    quint32 slotCount;
    Preference preference;
    const char *firstService;
    const char *secondService;
};

}

// Guards against example documents that are invalid, or whose sizes differ from the design documentation.
TEST(ExamplesTest, DocumentsAreValidAndOfTheirSizes)
{
    const Example examples[] = {
        {"regie.ini", "thies", 2, Preference::Flows, "comptoir", "tri"},
        {"swan.ini", "wa-south", 5, Preference::Service, "yard-desk", "farrier-files"},
    };
    for (const Example &example : examples) {
        QFile file(QStringLiteral(RATTANPICK_SOURCE_DIR "/examples/") + QLatin1String(example.file));
        ASSERT_TRUE(file.open(QIODevice::ReadOnly)) << example.file;
        DocumentReader reader(QLatin1String(example.file));
        const ConfigurationPointer configuration = reader.read(file.readAll());
        ASSERT_NE(configuration, nullptr) << reader.findings().first().toString().toStdString();
        EXPECT_EQ(configuration->dataCentres().size(), 3U);
        EXPECT_EQ(configuration->services().size(), 2U);
        EXPECT_EQ(configuration->targetsOf(serviceIdOf(example.firstService)).size(), 7U);
        EXPECT_EQ(configuration->targetsOf(serviceIdOf(example.secondService)).size(), 3U);
        for (const DataCentre &dataCentre : configuration->dataCentres()) {
            EXPECT_EQ(dataCentre.region, QLatin1String(example.region));
        }
        for (const Service &service : configuration->services()) {
            EXPECT_EQ(service.preference, example.preference);
        }
        for (const Target &target : configuration->targets()) {
            EXPECT_EQ(target.slots, example.slotCount);
            EXPECT_EQ(target.connections, 2000U);
            EXPECT_EQ(target.agent.address >> 24, 127U);
        }
    }
}
