# All dependencies are Debian packages; .ci/packages lists them.
find_package(CURL REQUIRED)
find_package(docopt REQUIRED)
find_package(tl-expected REQUIRED)
if(ENDIVELEVER_TESTS)
  find_package(GTest REQUIRED)
  find_package(benchmark REQUIRED)
endif()
find_package(Threads REQUIRED)

# easylogging++ is packaged as source.
add_library(easyloggingpp STATIC /usr/include/easylogging++.cc)
target_compile_definitions(easyloggingpp PUBLIC ELPP_NO_DEFAULT_LOG_FILE ELPP_CUSTOM_COUT=std::cerr ELPP_DISABLE_DEFAULT_CRASH_HANDLING)
target_compile_options(easyloggingpp PRIVATE -w)
# Its storage is defined in the base module, so the linker has to look there again.
target_link_libraries(easyloggingpp INTERFACE endivelever_base)
