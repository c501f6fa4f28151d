_rosemaryentryd() {
	COMPREPLY=($(compgen -f -W "--check --help" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -F _rosemaryentryd rosemaryentryd
