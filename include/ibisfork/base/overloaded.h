#pragma once

namespace ibisfork::base {

/// Builds a visitor for std::visit from lambdas.
template<typename... Visitors>
struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};

template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace ibisfork::base
