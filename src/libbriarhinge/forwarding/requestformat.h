#pragma once

#include "base/units.h"
#include "dispatch/runner.h"
#include "http/clientconnection.h"
#include "http/serverconnection.h"
#include "requests/messages.h"

#include <concepts>
#include <string>
#include <variant>

namespace briarhinge::forwarding
{

/** Encodes and decodes requests and responses. */
template <class T>
concept RequestFormat = requires(http::IncomingRequest incoming, const requests::CallerRequest &request,
                                 const std::string &prompt, const dispatch::RunnerId &runner,
                                 base::Milliseconds remainingTime, requests::Urgency urgency,
                                 const http::ResponseHead &head)
{
    {
        T::decode(std::move(incoming))
        } -> std::same_as<std::variant<requests::CallerRequest, requests::BadRequest>>;
    {
        T::encode(request, prompt, runner, remainingTime, urgency)
        } -> std::same_as<std::string>;
    {
        T::decodeResponse(head)
        } -> std::same_as<requests::RunnerResponse>;
    {
        T::refusal(remainingTime)
        } -> std::same_as<http::Headers>;
    {
        T::challenge()
        } -> std::same_as<http::Headers>;
};

}
