#pragma once

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

#include <ibisfork/base/error.h>
#include <ibisfork/base/names.h>

namespace ibisfork::yaml {

/// A field of a document that is missing, unknown or of the wrong kind; the message names line, field and unit.
class FieldError : public base::Error
{
public:
    using Error::Error;
};

/// Reads the fields of one YAML map and keeps account of those that were asked for.
class YamlFields
{
public:
    /// @p where names the map in messages.
    YamlFields(const YAML::Node &node, std::string where);

    /// The value of @p name; @p expected says in messages what it should be.
    template<typename Value>
    Value required(const std::string &name, const std::string &expected)
    {
        m_known.insert(name);
        if (!has(name)) {
            failMissing(name, expected);
        }
        return convert<Value>(name, expected);
    }

    template<typename Value>
    Value optional(const std::string &name, const Value &fallback, const std::string &expected)
    {
        m_known.insert(name);
        return has(name) ? convert<Value>(name, expected) : fallback;
    }

    double optionalInRange(const std::string &name, double fallback, double lowest, double highest);

    /// A duration with its unit: 250ms, 6s or 2m.
    std::chrono::milliseconds optionalMilliseconds(const std::string &name, std::chrono::milliseconds fallback);

    template<typename Enum, std::size_t Size>
    Enum optionalName(const std::string &name, const std::array<base::Name<Enum>, Size> &table, Enum fallback)
    {
        const auto text = optional<std::string>(name, std::string(base::nameOf(table, fallback)), "a name");
        const auto value = base::valueOf(table, text);
        if (!value) {
            std::vector<std::string> names;
            for (const auto &row : table) {
                names.emplace_back(row.name);
            }
            failName(name, text, names);
        }
        return *value;
    }

    /// The map or list @p name; empty where it is not given.
    YAML::Node map(const std::string &name);
    std::vector<YAML::Node> list(const std::string &name);

    /// A message for each field that was not asked for, with the nearest known name.
    std::vector<std::string> unknownFields() const;
    /// Throws FieldError for the first of them.
    void refuseUnknown() const;

private:
    /// A field without a value counts as not given.
    bool has(const std::string &name) const
    {
        return m_node.IsMap() && m_node[name].IsDefined() && !m_node[name].IsNull();
    }

    template<typename Value>
    Value convert(const std::string &name, const std::string &expected)
    {
        try {
            return m_node[name].template as<Value>();
        } catch (const YAML::Exception &) {
            failValue(name, expected);
        }
    }

    [[noreturn]] void failMissing(const std::string &name, const std::string &expected) const;
    [[noreturn]] void failValue(const std::string &name, const std::string &expected) const;
    [[noreturn]] void failName(const std::string &name,
                               const std::string &text,
                               const std::vector<std::string> &names) const;

    YAML::Node m_node;
    std::string m_where;
    std::set<std::string> m_known;
};

/// The name in @p known with the fewest edits from @p name; empty if none is near.
std::string nearestName(const std::string &name, const std::vector<std::string> &known);

} // namespace ibisfork::yaml
