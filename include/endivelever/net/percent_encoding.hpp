#pragma once

#include <string>
#include <string_view>

namespace endivelever {

/// Replaces each byte that is not an unreserved character of RFC 3986 by "%" and two hexadecimal digits. The
/// result can stand in a segment of a path or in a value of a query.
std::string percent_encode(std::string_view text);

} // namespace endivelever
