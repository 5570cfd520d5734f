#include "routing/keyindex.h"

#include <gtest/gtest.h>

#include <ibisfork/fleet/digest.h>

namespace ibisfork::routing {

class KeyIndexTest : public testing::Test
{
protected:
    KeyIndexTest()
    {
        m_config.workspaces["w1"] = {"w1", {fleet::sha256Hex("one"), fleet::sha256Hex("two")}, {}, {}, {}};
        m_config.workspaces["w2"] = {"w2", {fleet::sha256Hex("three")}, {}, {}, {}};
    }

    fleet::Config m_config;
};

TEST_F(KeyIndexTest, find_eachKey_isItsWorkspace)
{
    const KeyIndex index(m_config);
    EXPECT_EQ(index.find("two"), &m_config.workspaces.at("w1"));
    EXPECT_EQ(index.find("three"), &m_config.workspaces.at("w2"));
}

TEST_F(KeyIndexTest, find_unknownEmptyOrDigestItself_isNull)
{
    const KeyIndex index(m_config);
    EXPECT_EQ(index.find("four"), nullptr);
    EXPECT_EQ(index.find(""), nullptr);
    EXPECT_EQ(index.find(fleet::sha256Hex("one")), nullptr);
}

} // namespace ibisfork::routing
