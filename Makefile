# The ways in; meson.build has the build itself.
BUILD ?= build
SOURCES = $(shell git ls-files -co --exclude-standard '*.c' '*.h' | grep -v /generated/)

.PHONY: all install-needs run demo check bench bench-scale fuzz model format format-check lint clean

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

format:
	clang-format -i $(SOURCES)

format-check:
	clang-format --dry-run --Werror $(SOURCES)

lint:
	scripts/lint.sh $(BUILD)

clean:
	rm -rf $(BUILD)
