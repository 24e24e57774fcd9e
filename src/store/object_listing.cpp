#include "endivelever/store/object_listing.hpp"

#include "endivelever/net/percent_encoding.hpp"

#include <algorithm>

namespace endivelever {
namespace {

constexpr int error_no_progress = 2;
constexpr int error_era = 3;
constexpr std::size_t max_plain_bytes = 255;

/// True for a name that a request holds as it is.
bool is_plain(const stored_object& it) {
    return it.name.size() <= max_plain_bytes && percent_encode(it.name) == it.name;
}

/// @param objects  at least one
/// @return the object behind which the next page begins
std::vector<stored_object>::iterator find_page_end(std::vector<stored_object>& objects) {
    const auto plain = std::find_if(objects.rbegin(), objects.rend(), is_plain);
    return plain == objects.rend() ? std::prev(objects.end()) : std::prev(plain.base());
}

} // namespace

result<void> add_page(object_listing& listing, object_page page) {
    if (!listing.objects.empty() && page.revision.era != listing.revision.era) {
        return fail("store", error_era, "a new era began between two pages of a list");
    }
    std::erase_if(page.objects, [&](const auto& it) { return listing.names.contains(it.name); });
    if (page.has_more && page.objects.empty()) {
        return fail("store", error_no_progress, "list does not go on behind \"" + listing.after + "\"");
    }
    if (listing.objects.empty()) {
        listing.revision = page.revision;
    }
    if (page.has_more) {
        const auto last = find_page_end(page.objects);
        listing.after = last->name;
        page.objects.erase(std::next(last), page.objects.end());
    }
    for (auto& it : page.objects) {
        listing.names.insert(it.name);
        listing.objects.push_back(std::move(it));
    }
    listing.is_complete = !page.has_more;
    return {};
}

} // namespace endivelever
