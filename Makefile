# The ways in; meson.build has the build itself.
BUILD ?= build
SOURCES = $(shell git ls-files -co --exclude-standard '*.c' '*.h' | grep -v /generated/)

.PHONY: all install-needs run demo check bench bench-scale fuzz soak model sanitize format format-check lint clean

all: $(BUILD)/build.ninja
	ninja -C $(BUILD)

$(BUILD)/build.ninja:
	meson setup $(BUILD)

# Installs what a fresh Debian machine lacks; does nothing when all is there.
install-needs:
	scripts/install-needs.sh

run: install-needs all
	scripts/run.sh $(BUILD)

demo: install-needs all
	scripts/demo.sh $(BUILD)

check: install-needs all
	scripts/check.sh $(BUILD)

bench: install-needs all
	WICKBRIDGE_BUILD=$(abspath $(BUILD)) $(BUILD)/wb-bench

# The whole size of the users' first letter; takes about two minutes.
bench-scale: install-needs all
	WICKBRIDGE_BUILD=$(abspath $(BUILD)) $(BUILD)/wb-bench-scale --nodes=350 --engines=1400 \
	    --cells=44 --models=510 --adapters=3700 --seconds=30 --wakes=30

# Randomized faults against real processes: SOAK_COUNT fresh seeds, then those that ever failed.
SOAK_COUNT ?= 4
soak: install-needs all
	scripts/soak.sh $(BUILD) $(SOAK_COUNT)

model: install-needs
	scripts/model.sh

sanitize: install-needs
	scripts/sanitize.sh address
	scripts/sanitize.sh thread

# Runs libFuzzer over parsers and the simulated cluster for FUZZ_SECONDS.
FUZZ_SECONDS ?= 60
fuzz: install-needs
	[ -f build-fuzz/build.ninja ] || CC=clang meson setup build-fuzz -Dfuzz=true \
	    -Db_sanitize=address,undefined -Db_lundef=false -Dc_args=-fsanitize=fuzzer-no-link
	ninja -C build-fuzz fuzz-libfuzzer
	mkdir -p build-fuzz/corpus
	build-fuzz/fuzz-libfuzzer -max_total_time=$(FUZZ_SECONDS) -max_len=4096 build-fuzz/corpus tests/fuzz/seeds

format:
	clang-format -i $(SOURCES)

format-check:
	clang-format --dry-run --Werror $(SOURCES)

lint:
	scripts/lint.sh $(BUILD)

clean:
	rm -rf $(BUILD)
