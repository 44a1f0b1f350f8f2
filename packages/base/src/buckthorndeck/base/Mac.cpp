#include "buckthorndeck/base/Mac.h"

#include <algorithm>
#include <sodium.h>

namespace buckthorndeck {

Expected<MacKey> parseMacKey(std::string_view Hex) {
  MacKey Key;
  std::size_t Length = 0;
  const int Result =
      sodium_hex2bin(Key.Value.data(), Key.Value.size(), Hex.data(), Hex.size(),
                     nullptr, &Length, nullptr);
  if (Result != 0 || Length != MacKeyBytes || Hex.size() != 2 * MacKeyBytes)
    return Unexpected(Error{.Code = ErrorCode::Invalid,
                            .Step = "read fleet key",
                            .Message = "expected 64 hexadecimal digits"});
  return Key;
}

MacKey deriveKey(const MacKey &Key, std::string_view Purpose) {
  MacKey Derived;
  crypto_generichash(Derived.Value.data(), Derived.Value.size(),
                     reinterpret_cast<const unsigned char *>(Purpose.data()),
                     Purpose.size(), Key.Value.data(), Key.Value.size());
  return Derived;
}

Mac authenticate(const MacKey &Key, std::string_view Context,
                 ByteView Message) {
  Mac Tag;
  crypto_generichash_state State;
  crypto_generichash_init(&State, Key.Value.data(), Key.Value.size(),
                          Tag.size());
  const std::uint64_t Length = Context.size();
  crypto_generichash_update(
      &State, reinterpret_cast<const unsigned char *>(&Length), sizeof(Length));
  crypto_generichash_update(
      &State, reinterpret_cast<const unsigned char *>(Context.data()),
      Context.size());
  crypto_generichash_update(&State, Message.data(), Message.size());
  crypto_generichash_final(&State, Tag.data(), Tag.size());
  return Tag;
}

bool verify(const MacKey &Key, std::string_view Context, ByteView Message,
            ByteView Tag) {
  if (Tag.size() != MacBytes)
    return false;
  const Mac Right = authenticate(Key, Context, Message);
  return sodium_memcmp(Right.data(), Tag.data(), MacBytes) == 0;
}

Bytes seal(const MacKey &Key, Bytes Message) {
  const Mac Tag = authenticate(Key, {}, Message);
  Message.insert(Message.end(), Tag.begin(), Tag.end());
  return Message;
}

Expected<ByteView> unseal(const MacKey &Key, ByteView Sealed,
                          const std::string &Peer) {
  const auto Failure = Unexpected(Error{.Code = ErrorCode::Invalid,
                                        .Step = "check MAC",
                                        .Peer = Peer,
                                        .Message = "wrong or missing MAC"});
  if (Sealed.size() < MacBytes)
    return Failure;
  const ByteView Message = Sealed.first(Sealed.size() - MacBytes);
  if (!verify(Key, {}, Message, Sealed.last(MacBytes)))
    return Failure;
  return Message;
}

} // namespace buckthorndeck
