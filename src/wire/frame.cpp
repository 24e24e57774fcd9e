#include "endivelever/wire/frame.hpp"

#include <sodium.h>
#include <stdexcept>

namespace endivelever {
namespace {

using frame_mac = std::array<std::uint8_t, frame_mac_size>;

void initialize_sodium() {
    static const bool ready = sodium_init() >= 0;
    if (!ready) {
        throw std::runtime_error("libsodium failed to initialise");
    }
}

template <std::size_t Size>
std::array<std::uint8_t, Size> little_endian(std::uint64_t value) {
    std::array<std::uint8_t, Size> bytes{};
    for (std::size_t i = 0; i < Size; ++i) {
        bytes.at(i) = static_cast<std::uint8_t>(value >> (8U * i));
    }
    return bytes;
}

std::uint32_t read_length(std::span<const std::uint8_t> buf) {
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < frame_length_size; ++i) {
        value |= static_cast<std::uint32_t>(buf[i]) << (8U * i);
    }
    return value;
}

void update(crypto_generichash_state& hash, std::span<const std::uint8_t> bytes) {
    crypto_generichash_update(&hash, bytes.data(), bytes.size());
}

frame_mac mac_of(const frame_channel& channel, std::span<const std::uint8_t> payload) {
    crypto_generichash_state hash;
    crypto_generichash_init(&hash, channel.key.data(), channel.key.size(), frame_mac_size);
    update(hash, channel.connector_nonce);
    update(hash, channel.acceptor_nonce);
    const auto direction = static_cast<std::uint8_t>(channel.direction);
    update(hash, {&direction, 1});
    update(hash, little_endian<8>(channel.sequence));
    update(hash, payload);
    frame_mac mac{};
    crypto_generichash_final(&hash, mac.data(), mac.size());
    return mac;
}

bool is_valid_length(std::size_t length) {
    return length > 0 && length <= max_frame_payload;
}

void append(std::string& out, std::span<const std::uint8_t> bytes) {
    out.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
}

} // namespace

frame_key derive_frame_key(const std::string& cluster_key) {
    initialize_sodium();
    frame_key key{};
    crypto_generichash(key.data(), key.size(), reinterpret_cast<const unsigned char*>(cluster_key.data()),
                       cluster_key.size(), nullptr, 0);
    return key;
}

frame_nonce make_frame_nonce() {
    initialize_sodium();
    frame_nonce nonce{};
    randombytes_buf(nonce.data(), nonce.size());
    return nonce;
}

bool append_frame(frame_channel& channel, std::string_view payload, std::string& out) {
    if (!is_valid_length(payload.size())) {
        return false;
    }
    const std::span bytes(reinterpret_cast<const std::uint8_t*>(payload.data()), payload.size());
    append(out, little_endian<frame_length_size>(payload.size()));
    append(out, mac_of(channel, bytes));
    out.append(payload);
    ++channel.sequence;
    return true;
}

frame_view read_frame(frame_channel& channel, std::span<const std::uint8_t> buf) {
    if (buf.size() < frame_length_size) {
        return {};
    }
    const std::size_t length = read_length(buf);
    if (!is_valid_length(length)) {
        return {frame_state::bad_length, {}, 0};
    }
    if (buf.size() < frame_header_size + length) {
        return {};
    }
    const auto payload = buf.subspan(frame_header_size, length);
    const auto expected = mac_of(channel, payload);
    // Constant-time comparison: timing must not reveal how many leading bytes of the MAC are right.
    if (sodium_memcmp(expected.data(), buf.data() + frame_length_size, frame_mac_size) != 0) {
        return {frame_state::bad_mac, {}, 0};
    }
    ++channel.sequence;
    return {frame_state::complete, payload, frame_header_size + length};
}

} // namespace endivelever
