# Options that every target of the workspace shares.
add_library(rattanpick_options INTERFACE)
target_compile_definitions(rattanpick_options INTERFACE QT_NO_KEYWORDS QT_NO_CAST_FROM_BYTEARRAY)
target_compile_options(rattanpick_options INTERFACE -Wall -Wextra -Wshadow -Werror)
target_link_libraries(rattanpick_options INTERFACE Qt6::Core Threads::Threads)

# rattanpick_precompiled(NAME HEADERS <header>...): precompiles the headers that most sources include, and further ones.
# The linter reads the sources without them, so that no include can be missing.
function(rattanpick_precompiled name)
    cmake_parse_arguments(ARG "" "" "HEADERS" ${ARGN})
    add_library(${name} OBJECT ${PROJECT_SOURCE_DIR}/cmake/precompiled.cpp)
    target_link_libraries(${name} PRIVATE rattanpick_options)
    target_precompile_headers(${name} PRIVATE
        <QByteArray> <QJsonArray> <QJsonDocument> <QJsonObject> <QList> <QString>
        <algorithm> <array> <chrono> <deque> <functional> <map> <memory> <optional> <random> <set> <string> <unordered_map> <variant> <vector>
        ${ARG_HEADERS})
endfunction()

# rattanpick_share_precompiled(FOLDER): the targets of the folder and of those below use one set of precompiled headers for
# each set of compiler options. A set takes 200 MB, so that one for each target fills the disk of a build machine.
function(rattanpick_share_precompiled folder)
    get_property(targets DIRECTORY ${folder} PROPERTY BUILDSYSTEM_TARGETS)
    foreach(target ${targets})
        get_target_property(type ${target} TYPE)
        get_target_property(isModuleLibrary ${target} RATTANPICK_MODULE_LIBRARY)
        if(type STREQUAL "EXECUTABLE" AND target MATCHES "^test_")
            target_precompile_headers(${target} REUSE_FROM rattanpick_test_headers)
        elseif(type STREQUAL "STATIC_LIBRARY" AND isModuleLibrary)
            target_precompile_headers(${target} REUSE_FROM rattanpick_module_headers)
        elseif(type STREQUAL "STATIC_LIBRARY" OR type STREQUAL "EXECUTABLE")
            target_precompile_headers(${target} REUSE_FROM rattanpick_headers)
        endif()
    endforeach()
    get_property(folders DIRECTORY ${folder} PROPERTY SUBDIRECTORIES)
    foreach(subfolder ${folders})
        rattanpick_share_precompiled(${subfolder})
    endforeach()
endfunction()

# rattanpick_package(NAME LINKS lib...): a static library of all sources in the calling folder.
# Headers are included as <core/endpoint.h>, by package and file name.
function(rattanpick_package name)
    cmake_parse_arguments(ARG "" "" "LINKS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp ${CMAKE_CURRENT_SOURCE_DIR}/*.h)
    add_library(rattanpick_${name} STATIC ${sources})
    set_target_properties(rattanpick_${name} PROPERTIES LINKER_LANGUAGE CXX)
    target_include_directories(rattanpick_${name} PUBLIC ${PROJECT_SOURCE_DIR}/packages)
    target_link_libraries(rattanpick_${name} PUBLIC rattanpick_options ${ARG_LINKS})
endfunction()

# rattanpick_test(FOLDER LINKS lib...): one GoogleTest program of all sources in tests/FOLDER.
function(rattanpick_test folder)
    cmake_parse_arguments(ARG "" "" "LINKS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${folder}/*.cpp)
    add_executable(test_${folder} ${sources})
    target_include_directories(test_${folder} PRIVATE ${PROJECT_SOURCE_DIR}/packages ${PROJECT_SOURCE_DIR})
    # Tests that read documents of the source tree find it by this name; __FILE__ is relative under ccache.
    target_compile_definitions(test_${folder} PRIVATE RATTANPICK_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
    target_link_libraries(test_${folder} PRIVATE rattanpick_options GTest::gtest GTest::gtest_main rapidcheck ${ARG_LINKS})
    add_test(NAME ${folder} COMMAND test_${folder})
    set_tests_properties(${folder} PROPERTIES TIMEOUT 300)
endfunction()

# rattanpick_module_libraries(NAME...): compiles static libraries that a shared module links as position-independent code.
# Calls within a library may still be inlined, since nothing replaces its functions at run time.
function(rattanpick_module_libraries)
    foreach(library ${ARGN})
        set_target_properties(${library} PROPERTIES POSITION_INDEPENDENT_CODE ON RATTANPICK_MODULE_LIBRARY ON)
        target_compile_options(${library} PRIVATE -fno-semantic-interposition)
    endforeach()
endfunction()
