#!/usr/bin/env bash
# What is played and checked: review/standins/src/bin/cold_again.rs
set -- cold_again
source "$(dirname "$0")/../play.sh"
