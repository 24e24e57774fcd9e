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
constexpr std::size_t frame_header_size = frame_length_size + frame_mac_size;

/// Longest payload of a frame in bytes: a document of 1 MiB plus its envelope.
constexpr std::size_t max_frame_payload = 1'310'720;

using frame_key = std::array<std::uint8_t, 32>;
using frame_nonce = std::array<std::uint8_t, frame_nonce_size>;

/// Side of the connection that sends. It is covered by the MAC, which prevents reflecting a frame to its
/// sender.
enum class frame_direction : std::uint8_t { from_connector = 1, from_acceptor = 2 };

/// State of one direction of one connection. The MAC covers the payload, both nonces, direction and sequence,
/// and is keyed with `key`.
struct frame_channel {
    frame_key key{};
    frame_nonce connector_nonce{};
    frame_nonce acceptor_nonce{};
    frame_direction direction = frame_direction::from_connector;
    std::uint64_t sequence = 0; ///< number of the next frame, from 0
};

/// @return MAC key: hash of the `cluster_key` setting
frame_key derive_frame_key(const std::string& cluster_key);

/// @return random nonce for a new connection
frame_nonce make_frame_nonce();

/// Appends one frame to `out` and advances the channel.
/// @return false, with nothing changed, if the payload is empty or longer than max_frame_payload
bool append_frame(frame_channel& channel, std::string_view payload, std::string& out);

enum class frame_state { incomplete, complete, bad_length, bad_mac };

/// Result of read_frame().
struct frame_view {
    frame_state state = frame_state::incomplete;
    std::span<const std::uint8_t> payload; ///< points into the buffer; set if complete
    std::size_t consumed = 0;              ///< size of the frame in the buffer; 0 unless complete
};

/// Reads one frame from the start of `buf` and advances the channel if it is complete and authentic.
/// An invalid length is reported as soon as its 4 bytes are received, without waiting for the payload.
frame_view read_frame(frame_channel& channel, std::span<const std::uint8_t> buf);

} // namespace endivelever
