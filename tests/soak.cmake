# A seeded soak of real processes; scripts/soak plays many seeds by hand.
add_executable(gentianhill_soak soak/soak.cpp)
target_link_libraries(gentianhill_soak PRIVATE gentianhill_standin_line_platform)
foreach(seed 1 2 3)
  add_test(NAME soak.seed_${seed} COMMAND gentianhill_soak $<TARGET_FILE:gentianhill-edge> ${seed} 20)
  set_tests_properties(soak.seed_${seed} PROPERTIES TIMEOUT 60)
endforeach()
