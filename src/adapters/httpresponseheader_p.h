#pragma once

#include <cstddef>
#include <string>

#include "httpserver.h"

namespace fulmarledge {

/// Whether a response with this status has no body.
bool isBodylessStatus(int status);

/// Header of a response, without the fields that describe the connection and without its end.
std::string formatResponseHeader(int status, const HttpFields &fields, std::size_t bodyBytes, bool isHeadRequest);

/// Appends the fields that describe the connection, and the end of the header.
/// @param keepAliveMs idle time after which the connection may be closed; 0: it is closed after the response
void endResponseHeader(std::string &header, TimeMs keepAliveMs);

} // namespace fulmarledge
