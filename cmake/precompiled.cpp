// The headers of this target are precompiled; see RattanpickTargets.cmake.
