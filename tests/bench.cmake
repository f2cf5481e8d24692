# The targets of section 1.5 of the design page that the benchmark computes, for a fixed seed.
if(TARGET gentianhill_bench)
  add_test(NAME bench.check COMMAND gentianhill_bench --seed 1 --check)
  set_tests_properties(bench.check PROPERTIES TIMEOUT 120)
endif()
