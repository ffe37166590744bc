#pragma once

/** Status codes that the daemon sends or evaluates. */
namespace Apricothook::HttpStatus {

constexpr unsigned Ok = 200;
constexpr unsigned FirstRedirect = 300;
constexpr unsigned BadRequest = 400;
constexpr unsigned Unauthorized = 401;
constexpr unsigned NotFound = 404;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned Gone = 410;
constexpr unsigned TooLarge = 413;
constexpr unsigned Misdirected = 421;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned HeadersTooLarge = 431;
constexpr unsigned FirstServerError = 500;
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;
constexpr unsigned GatewayTimeout = 504;

} // namespace Apricothook::HttpStatus
