#include "yaml/yamlfields.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace ibisfork::yaml {

namespace {

constexpr std::size_t nearEdits = 3;

std::size_t editDistance(const std::string &left, const std::string &right)
{
    std::vector<std::size_t> previous(right.size() + 1);
    std::iota(previous.begin(), previous.end(), 0);
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::vector<std::size_t> current{i + 1};
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t replaced = previous[j] + (left[i] == right[j] ? 0 : 1);
            current.push_back(std::min({previous[j + 1] + 1, current[j] + 1, replaced}));
        }
        previous = std::move(current);
    }
    return previous.back();
}

std::string hint(const std::string &nearest)
{
    return nearest.empty() ? "" : fmt::format("; did you mean '{}'?", nearest);
}

constexpr double millisecondsPerSecond = 1000;
constexpr double millisecondsPerMinute = 60000;

std::chrono::milliseconds parseMilliseconds(const std::string &text)
{
    std::size_t end = 0;
    const double amount = std::stod(text, &end);
    const std::string unit = text.substr(end);
    if (!(amount >= 0)) {
        throw std::invalid_argument(text);
    }
    if (unit == "ms") {
        return std::chrono::milliseconds(std::llround(amount));
    }
    if (unit == "s") {
        return std::chrono::milliseconds(std::llround(amount * millisecondsPerSecond));
    }
    if (unit == "m") {
        return std::chrono::milliseconds(std::llround(amount * millisecondsPerMinute));
    }
    throw std::invalid_argument(text);
}

} // namespace

std::string nearestName(const std::string &name, const std::vector<std::string> &known)
{
    std::string nearest;
    std::size_t fewest = nearEdits + 1;
    for (const auto &candidate : known) {
        const auto edits = editDistance(name, candidate);
        if (edits < fewest) {
            fewest = edits;
            nearest = candidate;
        }
    }
    return nearest;
}

YamlFields::YamlFields(const YAML::Node &node, std::string where)
    : m_node(node)
    , m_where(std::move(where))
{
    if (m_node.IsDefined() && !m_node.IsNull() && !m_node.IsMap()) {
        throw FieldError(fmt::format("line {}: {} must be a map of fields", m_node.Mark().line + 1, m_where));
    }
}

double YamlFields::optionalInRange(const std::string &name, double fallback, double lowest, double highest)
{
    const std::string expected = fmt::format("a number from {} to {}", lowest, highest);
    const auto value = optional(name, fallback, expected);
    if (!(value >= lowest && value <= highest)) {
        failValue(name, expected);
    }
    return value;
}

std::chrono::milliseconds YamlFields::optionalMilliseconds(const std::string &name, std::chrono::milliseconds fallback)
{
    const std::string expected = "a duration such as 250ms, 6s or 2m";
    const auto text = optional(name, fmt::format("{}ms", fallback.count()), expected);
    try {
        return parseMilliseconds(text);
    } catch (const std::logic_error &) {
        failValue(name, expected);
    }
}

YAML::Node YamlFields::map(const std::string &name)
{
    m_known.insert(name);
    return has(name) ? m_node[name] : YAML::Node(YAML::NodeType::Map);
}

std::vector<YAML::Node> YamlFields::list(const std::string &name)
{
    m_known.insert(name);
    std::vector<YAML::Node> items;
    if (!has(name)) {
        return items;
    }
    if (!m_node[name].IsSequence()) {
        failValue(name, "a list");
    }
    for (const auto &item : m_node[name]) {
        items.push_back(item);
    }
    return items;
}

std::vector<std::string> YamlFields::unknownFields() const
{
    std::vector<std::string> unknown;
    if (!m_node.IsMap()) {
        return unknown;
    }
    for (const auto &field : m_node) {
        const auto name = field.first.as<std::string>();
        if (!m_known.contains(name)) {
            const auto nearest = nearestName(name, {m_known.begin(), m_known.end()});
            unknown.push_back(fmt::format(
                "line {}: {}: unknown field '{}'{}", field.first.Mark().line + 1, m_where, name, hint(nearest)));
        }
    }
    return unknown;
}

void YamlFields::refuseUnknown() const
{
    const auto unknown = unknownFields();
    if (!unknown.empty()) {
        throw FieldError(unknown.front());
    }
}

void YamlFields::failMissing(const std::string &name, const std::string &expected) const
{
    throw FieldError(
        fmt::format("line {}: {}: '{}' is required ({})", m_node.Mark().line + 1, m_where, name, expected));
}

void YamlFields::failValue(const std::string &name, const std::string &expected) const
{
    throw FieldError(
        fmt::format("line {}: {}: '{}' must be {}", m_node[name].Mark().line + 1, m_where, name, expected));
}

void YamlFields::failName(const std::string &name, const std::string &text, const std::vector<std::string> &names) const
{
    throw FieldError(fmt::format("line {}: {}: '{}' is '{}' but must be one of {}{}",
                                 m_node[name].Mark().line + 1,
                                 m_where,
                                 name,
                                 text,
                                 fmt::join(names, ", "),
                                 hint(nearestName(text, names))));
}

} // namespace ibisfork::yaml
