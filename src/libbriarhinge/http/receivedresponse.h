#pragma once

#include "http/responseend.h"

namespace web::http
{
class http_response;
}

namespace briarhinge::http
{

/**
 * @param response a response of cpprest whose body was received without an error
 * @return how its receipt ended
 */
ResponseEnd endOf(const web::http::http_response &response);

/**
 * @param response a response of cpprest whose body was received without an error
 * @param content where it ends in its content
 * @return whether it is whole for certain; this reader knows nothing else about its server
 */
bool isWhole(const web::http::http_response &response, ContentEnd content);

}
