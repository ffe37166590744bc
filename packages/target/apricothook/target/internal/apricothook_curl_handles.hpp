#pragma once

#include <memory>

#include <curl/curl.h>

namespace Apricothook {

struct CurlDeleter
{
    void operator()(CURL *easy) const { curl_easy_cleanup(easy); }
    void operator()(curl_slist *list) const { curl_slist_free_all(list); }
};

struct CurlMultiDeleter
{
    void operator()(CURLM *multi) const { curl_multi_cleanup(multi); }
};

using EasyHandle = std::unique_ptr<CURL, CurlDeleter>;
using HeaderList = std::unique_ptr<curl_slist, CurlDeleter>;
using MultiHandle = std::unique_ptr<CURLM, CurlMultiDeleter>;

} // namespace Apricothook
