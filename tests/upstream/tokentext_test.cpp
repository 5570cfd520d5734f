#include "upstream/tokentext.h"

#include <gtest/gtest.h>

namespace ibisfork::upstream {

struct TokenTextCase
{
    const char *name;
    const char *event;
    std::optional<std::string> text;
};

class TokenTextTest : public testing::TestWithParam<TokenTextCase>
{
};

TEST_P(TokenTextTest, tokenText_ofAnEvent_isTheFirstDelta)
{
    EXPECT_EQ(tokenText(GetParam().event), GetParam().text);
}

INSTANTIATE_TEST_SUITE_P(
    Events,
    TokenTextTest,
    testing::Values(
        TokenTextCase{"plain", R"({"choices":[{"index":0,"delta":{"content":"a\"b"}}]})", "a\"b"},
        TokenTextCase{"contentElsewhere",
                      R"({"content":"x","choices":[{"content":"y","delta":{"content":"z"}}]})",
                      "z"},
        TokenTextCase{"nestedContent", R"({"choices":[{"delta":{"tool":{"content":"x"},"content":"y"}}]})", "y"},
        TokenTextCase{"secondChoice", R"({"choices":[{"delta":{"content":"a"}},{"delta":{"content":"b"}}]})", "a"},
        TokenTextCase{"roleOnly", R"({"choices":[{"delta":{"role":"assistant"}}]})", ""},
        TokenTextCase{"noChoices", R"({"choices":[]})", std::nullopt},
        TokenTextCase{"cut", R"({"choices":[{"delta":{"content":"a")", std::nullopt},
        TokenTextCase{"notAnObject", R"([1,2])", std::nullopt},
        TokenTextCase{"badUtf8", "{\"choices\":[{\"delta\":{\"content\":\"\xff\"}}]}", std::nullopt}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace ibisfork::upstream
