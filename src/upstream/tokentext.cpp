#include "upstream/tokentext.h"

#include <vector>

#include <nlohmann/json.hpp>

namespace ibisfork::upstream {

namespace {

using Json = nlohmann::json;

/// Extracts the text with a SAX parser: building a JSON document for each token would account for most of a node's CPU
/// time.
class TextReader : public nlohmann::json_sax<Json>
{
public:
    std::optional<std::string> take() { return m_deltaSeen ? std::optional(std::move(m_text)) : std::nullopt; }

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(Json::number_integer_t) override { return true; }
    bool number_unsigned(Json::number_unsigned_t) override { return true; }
    bool number_float(Json::number_float_t, const Json::string_t &) override { return true; }
    bool binary(Json::binary_t &) override { return true; }

    bool string(Json::string_t &value) override
    {
        if (inDelta() && m_keys.back() == "content") {
            m_text = std::move(value);
        }
        return true;
    }

    bool start_object(std::size_t) override
    {
        m_keys.emplace_back();
        m_deltaSeen = m_deltaSeen || inDelta();
        return true;
    }

    bool key(Json::string_t &name) override
    {
        m_keys.back() = std::move(name);
        return true;
    }

    bool end_object() override
    {
        m_keys.pop_back();
        m_firstChoiceRead = m_firstChoiceRead || (m_keys.size() == 1 && m_keys.front() == "choices");
        return true;
    }

    bool start_array(std::size_t) override { return true; }
    bool end_array() override { return true; }
    bool parse_error(std::size_t, const std::string &, const Json::exception &) override { return false; }

private:
    /// Whether the object being read is the delta of the first choice.
    bool inDelta() const
    {
        return m_keys.size() == 3 && m_keys[0] == "choices" && m_keys[1] == "delta" && !m_firstChoiceRead;
    }

    /// The last key read in each open object.
    std::vector<std::string> m_keys;
    std::string m_text;
    bool m_deltaSeen = false;
    bool m_firstChoiceRead = false;
};

} // namespace

std::optional<std::string> tokenText(const std::string &event)
{
    TextReader reader;
    if (!Json::sax_parse(event, &reader)) {
        return std::nullopt;
    }
    return reader.take();
}

} // namespace ibisfork::upstream
