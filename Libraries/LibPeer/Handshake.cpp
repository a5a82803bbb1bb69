#include <LibCore/Hash.h>
#include <LibPeer/Handshake.h>
#include <LibPeer/PeerMessage.h>

#include <algorithm>
#include <vector>

namespace Peer {

namespace {

constexpr std::size_t NonceBytes = 32;
constexpr std::string_view ClientProofLabel = "jujubesaddle peer proof client";
constexpr std::string_view ServerProofLabel = "jujubesaddle peer proof server";
constexpr std::string_view ClientFrameLabel = "jujubesaddle peer frames client";
constexpr std::string_view ServerFrameLabel = "jujubesaddle peer frames server";

std::vector<std::uint8_t> toBytes(std::string_view text)
{
    return {text.begin(), text.end()};
}

template <typename Table>
std::string encodeTable(const Table &table)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Table::TableType::Pack(builder, &table));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

template <typename Table>
const Table *verifiedTable(std::string_view payload)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(payload.data());
    flatbuffers::Verifier verifier(bytes, payload.size());
    if (!verifier.VerifyBuffer<Table>(nullptr))
        return nullptr;
    return flatbuffers::GetRoot<Table>(bytes);
}

std::string lengthPrefixed(std::string_view text)
{
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8)
        out.push_back(static_cast<char>(text.size() >> shift));
    return out.append(text);
}

Core::Error rejected(const std::string &detail)
{
    return Core::Error(Core::ErrorKind::PeerRejected, detail);
}

} // namespace

Handshake::Handshake(const PeerSettings &settings, Role role)
    : m_settings(settings)
    , m_role(role)
{
    Wire::HelloT hello;
    hello.version = settings.versions.newest;
    hello.lowest_version = settings.versions.lowest;
    hello.environment = settings.environment;
    hello.data_centre = settings.self.dataCentre.value();
    hello.instance = settings.self.instance.value();
    hello.incarnation = settings.self.incarnation;
    hello.nonce = toBytes(Core::secureRandomBytes(NonceBytes));
    m_ownHello = encodeTable(hello);
}

Core::Result<PeerIdentity> Handshake::readHello(std::string_view payload)
{
    const auto *table = verifiedTable<Wire::Hello>(payload);
    if (table == nullptr)
        return Core::Error(Core::ErrorKind::FrameInvalid, "the hello failed verification");
    Wire::HelloT hello;
    table->UnPackTo(&hello);
    if (hello.nonce.size() != NonceBytes || hello.instance.empty())
        return rejected("the hello lacks a nonce or an instance id");
    if (hello.environment != m_settings.environment)
        return rejected("the peer belongs to another environment");
    const auto version = std::min(hello.version, m_settings.versions.newest);
    if (version < std::max(hello.lowest_version, m_settings.versions.lowest)) {
        m_incompatible = true;
        return rejected("the peer supports no protocol version that this program supports");
    }
    const auto &self = m_settings.self;
    if (hello.instance == self.instance.value() && hello.incarnation == self.incarnation)
        return rejected("the peer is this process itself");
    m_otherHello = payload;
    return PeerIdentity {Core::InstanceId(hello.instance), Core::DataCentreId(hello.data_centre),
                         hello.incarnation, version};
}

std::string Handshake::keyedDigest(std::string_view label) const
{
    const auto &client = m_role == Role::Client ? m_ownHello : m_otherHello;
    const auto &server = m_role == Role::Client ? m_otherHello : m_ownHello;
    return Core::hmacSha256(m_settings.key, lengthPrefixed(label) + lengthPrefixed(client)
                                                + lengthPrefixed(server));
}

std::string Handshake::proofDigest(Role role) const
{
    return keyedDigest(role == Role::Client ? ClientProofLabel : ServerProofLabel);
}

std::string Handshake::proof() const
{
    Wire::ProofT proof;
    proof.mac = toBytes(proofDigest(m_role));
    return encodeTable(proof);
}

bool Handshake::verifyProof(std::string_view payload) const
{
    const auto *table = verifiedTable<Wire::Proof>(payload);
    if (table == nullptr || table->mac() == nullptr)
        return false;
    const std::string_view mac(reinterpret_cast<const char *>(table->mac()->data()),
                               table->mac()->size());
    const auto other = m_role == Role::Client ? Role::Server : Role::Client;
    return Core::equalInConstantTime(mac, proofDigest(other));
}

FrameKeys Handshake::frameKeys() const
{
    auto client = keyedDigest(ClientFrameLabel);
    auto server = keyedDigest(ServerFrameLabel);
    if (m_role == Role::Client)
        return {std::move(client), std::move(server)};
    return {std::move(server), std::move(client)};
}

} // namespace Peer
