# The Debian libraries that the packages use, one imported target each.
find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
find_package(benchmark CONFIG REQUIRED)
find_package(rapidcheck CONFIG REQUIRED)
find_package(cxxopts CONFIG REQUIRED)
foreach(library ACE jsoncpp libcurl libmicrohttpd libglog libcbor libxxhash
                libjsonrpccpp-common libjsonrpccpp-client libjsonrpccpp-server)
    string(MAKE_C_IDENTIFIER ${library} prefix)
    pkg_check_modules(${prefix} REQUIRED IMPORTED_TARGET ${library})
endforeach()
