#include <ibisfork/fleet/rules.h>

#include <charconv>
#include <chrono>
#include <cmath>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <ibisfork/fleet/exceptions.h>

namespace ibisfork::fleet {

namespace {

template<typename Number>
Number numberFrom(const std::string &field, const std::string &value, Number lowest, Number highest)
{
    Number number{};
    const auto *last = value.data() + value.size();
    const auto result = std::from_chars(value.data(), last, number);
    // Written so that a NaN is refused too.
    if (result.ec != std::errc() || result.ptr != last || !(number >= lowest && number <= highest)) {
        throw ConfigError(fmt::format(errormessage::badNumber, field, value, lowest, highest));
    }
    return number;
}

bool flagFrom(const std::string &field, const std::string &value)
{
    if (value != "true" && value != "false") {
        throw ConfigError(fmt::format(errormessage::badFlag, field, value));
    }
    return value == "true";
}

WithdrawnSessionRule sessionRuleFrom(const std::string &field, const std::string &value)
{
    const auto rule = base::valueOf(withdrawnSessionRuleNames, value);
    if (!rule) {
        throw ConfigError(fmt::format(errormessage::badName, field, value, "end or move"));
    }
    return *rule;
}

using FieldSetter = void (*)(WorkspaceRules &, const std::string &field, const std::string &value);

struct RuleField
{
    std::string_view name;
    FieldSetter set;
};

constexpr std::array<RuleField, 6> ruleFields{{
    {"quality_target",
     [](WorkspaceRules &rules, const std::string &field, const std::string &value) {
         rules.qualityTarget = numberFrom(field, value, 0.0, 1.0);
     }},
    {"cost_bound",
     [](WorkspaceRules &rules, const std::string &field, const std::string &value) {
         rules.costBound = numberFrom(field, value, 0.0, rulelimit::highestCost);
     }},
    {"priority",
     [](WorkspaceRules &rules, const std::string &field, const std::string &value) {
         rules.priority = numberFrom(field, value, rulelimit::lowestPriority, rulelimit::highestPriority);
     }},
    {"share",
     [](WorkspaceRules &rules, const std::string &field, const std::string &value) {
         rules.share = numberFrom(field, value, rulelimit::lowestShare, rulelimit::highestShare);
     }},
    {"withdrawn_session",
     [](WorkspaceRules &rules, const std::string &field, const std::string &value) {
         rules.withdrawnSession = sessionRuleFrom(field, value);
     }},
    {"cascade",
     [](WorkspaceRules &rules, const std::string &field, const std::string &value) {
         rules.cascade = flagFrom(field, value);
     }},
}};

bool isDay(const std::string &text)
{
    constexpr std::size_t dayLength = 10;
    if (text.size() != dayLength || text[4] != '-' || text[7] != '-') {
        return false;
    }
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    const auto *data = text.data();
    const bool digits = std::from_chars(data, data + 4, year).ptr == data + 4
        && std::from_chars(data + 5, data + 7, month).ptr == data + 7
        && std::from_chars(data + 8, data + dayLength, day).ptr == data + dayLength;
    return digits
        && std::chrono::year_month_day(std::chrono::year(year), std::chrono::month(month), std::chrono::day(day)).ok();
}

} // namespace

WorkspaceRules withField(WorkspaceRules rules, const std::string &field, const std::string &value)
{
    for (const auto &known : ruleFields) {
        if (known.name == field) {
            known.set(rules, field, value);
            return rules;
        }
    }
    throw ConfigError(fmt::format(errormessage::unknownRule, field));
}

void checkException(const Exception &exception)
{
    try {
        withField(WorkspaceRules{}, exception.field, exception.value);
    } catch (const ConfigError &error) {
        throw ConfigError(fmt::format(errormessage::badException, exception.id, error.what()));
    }
    if (exception.reason.find_first_not_of(" \t\r\n") == std::string::npos) {
        throw ConfigError(fmt::format(errormessage::badException, exception.id, "a written reason is required"));
    }
    if (!exception.until.empty() && !isDay(exception.until)) {
        throw ConfigError(fmt::format(errormessage::badException,
                                      exception.id,
                                      fmt::format("until: '{}' is not a day of the form YYYY-MM-DD", exception.until)));
    }
}

bool holdsOn(const Exception &exception, const std::string &day)
{
    return exception.until.empty() || day <= exception.until;
}

void applyExceptions(Config &config, const std::string &day)
{
    for (const auto &[id, exception] : config.exceptions) {
        const auto workspace = config.workspaces.find(exception.workspace);
        if (workspace != config.workspaces.end() && holdsOn(exception, day)) {
            workspace->second.rules = withField(workspace->second.rules, exception.field, exception.value);
        }
    }
}

std::string today()
{
    return fmt::format("{:%Y-%m-%d}", fmt::gmtime(std::chrono::system_clock::now()));
}

} // namespace ibisfork::fleet
