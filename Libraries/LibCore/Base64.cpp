#include <LibCore/Base64.h>

#include <openssl/evp.h>

namespace Core {

namespace {

const unsigned char *asUnsigned(std::string_view bytes)
{
    return reinterpret_cast<const unsigned char *>(bytes.data());
}

unsigned char *asUnsigned(std::string &bytes)
{
    return reinterpret_cast<unsigned char *>(bytes.data());
}

std::size_t paddingOf(std::string_view text)
{
    if (text.ends_with("=="))
        return 2;
    return text.ends_with('=') ? 1 : 0;
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    // OpenSSL writes a terminating zero after the text.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto n =
        EVP_EncodeBlock(asUnsigned(text), asUnsigned(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

Result<std::string> decodeBase64(std::string_view text)
{
    if (text.empty())
        return std::string();
    std::string bytes(text.size() / 4 * 3 + 3, '\0');
    const auto n =
        EVP_DecodeBlock(asUnsigned(bytes), asUnsigned(text), static_cast<int>(text.size()));
    if (n < 0 || text.size() % 4 != 0)
        return Error(ErrorKind::MalformedRequest, "not valid base64");
    bytes.resize(static_cast<std::size_t>(n) - paddingOf(text));
    return bytes;
}

} // namespace Core
