#pragma once

namespace Http {

class Client;
class ClientExchange;
class EventStreamParser;
class Headers;
class Server;
class ServerExchange;
struct ClientTimeouts;
struct Request;
struct Response;
struct ServerLimits;
struct ServerSentEvent;

} // namespace Http
