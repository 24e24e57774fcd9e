#pragma once

#include "endivelever/base/result.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace endivelever {

constexpr std::size_t frame_nonce_size = 16;
constexpr std::size_t frame_length_size = 4;
constexpr std::size_t frame_mac_size = 16;
constexpr std::size_t frame_head_size = frame_length_size + frame_mac_size;

/// Longest payload of a frame: a document of 1 MB and room for its envelope.
constexpr std::size_t max_frame_payload = 1'310'720;

using frame_key = std::array<std::uint8_t, 32>;
using frame_nonce = std::array<std::uint8_t, frame_nonce_size>;

/// Which side of the connection sends. Part of the MAC, so that a frame cannot be sent back to its sender.
enum class frame_direction : std::uint8_t { from_connector = 1, from_acceptor = 2 };

/// One direction of one connection. The MAC covers everything here and the payload.
struct frame_channel {
    frame_key key{};
    frame_nonce connector_nonce{};
    frame_nonce acceptor_nonce{};
    frame_direction direction = frame_direction::from_connector;
    std::uint64_t sequence = 0; ///< number of the next frame
};

/// @return fixed-size key derived from the `cluster_key` setting
frame_key derive_frame_key(const std::string& cluster_key);

/// @return random nonce for a new connection
frame_nonce make_frame_nonce();

/// Appends one frame to `out` and advances the channel.
/// @return false, with nothing changed, if the payload is empty or longer than max_frame_payload
bool append_frame(frame_channel& channel, std::string_view payload, std::string& out);

enum class frame_state { incomplete, complete, bad_length, bad_mac };

/// Result of reading the start of a receive buffer.
struct frame_view {
    frame_state state = frame_state::incomplete;
    std::span<const std::uint8_t> payload; ///< points into the buffer; set if complete
    std::size_t consumed = 0;              ///< bytes of the buffer that the frame took; 0 unless complete
};

/// Reads one frame from the start of `buf` and advances the channel if it is complete and authentic.
/// The length is checked as soon as its 4 bytes are there, so a bad length is never waited for.
frame_view read_frame(frame_channel& channel, std::span<const std::uint8_t> buf);

} // namespace endivelever
